/** Implementation of the peer network: framing, handshake, heartbeats, reconnection and limits. */
package org.whinwharf.wire.peer.internal;
