/** Which parts of the policy are in use. */
package org.whinwharf.traffic.policy;
