/** Command line of the operators. */
package org.whinwharf.pgm;
