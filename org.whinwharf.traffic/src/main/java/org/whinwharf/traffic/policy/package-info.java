/** Mechanisms of the scheduling policy that can be disabled. */
package org.whinwharf.traffic.policy;
