/** Command line and life of a daemon. */
package org.whinwharf.runtime.command;
