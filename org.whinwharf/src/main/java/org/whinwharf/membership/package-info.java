/** What the published host list and the document say together: hosts, targets, slices, candidates and voters. */
package org.whinwharf.membership;
