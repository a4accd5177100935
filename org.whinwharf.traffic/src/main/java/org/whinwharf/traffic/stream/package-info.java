/** Which software version began a stream, so that the stream is resumed at no other. */
package org.whinwharf.traffic.stream;
