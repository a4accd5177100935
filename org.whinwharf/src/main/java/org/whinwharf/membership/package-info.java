/** View of the published host list combined with the document: hosts, targets, slices, candidates and voters. */
package org.whinwharf.membership;
