/**
 * Decides which orders engines get: what the document wants, who may order, and when the weight store bears a load.
 *
 * <p>Each target has one steward by the published host list alone. Orders carry the list's revision as fencing number.
 */
package org.whinwharf.order;
