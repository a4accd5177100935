/** Steward daemon: brings model engines to the state that the operators' document asks for. */
package org.whinwharf.steward;
