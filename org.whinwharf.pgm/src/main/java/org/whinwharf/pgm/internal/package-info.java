/** What the commands share: terminal, reports, files and HTTP. */
package org.whinwharf.pgm.internal;
