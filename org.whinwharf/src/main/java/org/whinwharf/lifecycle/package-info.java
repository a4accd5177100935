/** Start and stop of components that own threads, sockets or other resources. */
package org.whinwharf.lifecycle;
