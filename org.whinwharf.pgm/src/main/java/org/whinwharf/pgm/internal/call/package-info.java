/** Sends a request as a caller would: asks which host to use, follows the stream, resumes it where it broke. */
package org.whinwharf.pgm.internal.call;
