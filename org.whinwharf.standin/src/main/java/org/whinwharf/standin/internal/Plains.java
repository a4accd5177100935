package org.whinwharf.standin.internal;

/**
 * Plain services of this process.
 *
 * @param instances by address
 */
record Plains(Instances<Plain> instances) {}
