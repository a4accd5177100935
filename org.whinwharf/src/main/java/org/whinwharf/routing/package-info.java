/** Selection of the slice at which a home queues a request. */
package org.whinwharf.routing;
