/** Command line of the operators: one class for each command, over a shared base. */
package org.whinwharf.pgm;
