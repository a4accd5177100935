/** The stand-ins' servers and what they decide. */
package org.whinwharf.standin.internal;
