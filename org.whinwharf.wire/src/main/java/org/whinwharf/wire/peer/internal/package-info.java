/** Pipeline behind the peer network: frames, hello, heartbeats, reconnects and limits. */
package org.whinwharf.wire.peer.internal;
