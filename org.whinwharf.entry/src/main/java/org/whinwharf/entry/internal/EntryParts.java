package org.whinwharf.entry.internal;

import org.whinwharf.runtime.node.Node;

/** Parts of the daemon that others work with. */
record EntryParts(
        Node node,
        HomeDuty home,
        Sessions sessions,
        SchedulerLinks schedulers,
        Targets targets,
        AnswerCache answers,
        Explanations explanations,
        RequestSpans spans,
        EntryMetrics metrics,
        AddressBook addresses,
        RelayClient relays) {}
