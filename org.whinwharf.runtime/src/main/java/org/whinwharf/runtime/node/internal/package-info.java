/** Decisions and wiring behind a node. */
package org.whinwharf.runtime.node.internal;
