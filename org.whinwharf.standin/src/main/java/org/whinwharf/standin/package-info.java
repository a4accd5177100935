/** Stand-ins for what lies outside the system: engines, plain services and the platform. */
package org.whinwharf.standin;
