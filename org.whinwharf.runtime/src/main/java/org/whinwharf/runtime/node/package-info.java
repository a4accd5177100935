/** What a daemon knows of the fleet, and the parts that all daemons run. */
package org.whinwharf.runtime.node;
