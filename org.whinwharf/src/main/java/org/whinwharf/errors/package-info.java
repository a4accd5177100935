/** The closed list of error kinds, the answer each one gets, and the result types that carry them. */
package org.whinwharf.errors;
