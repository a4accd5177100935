/**
 * Reads settings and documents: JSON with comments into any message of the schema, with every fault found together.
 *
 * <p>The rules are options of the schema's fields, so that the programs and the command line check the same things.
 */
package org.whinwharf.schema;
