package org.whinwharf.runtime.node.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.document.DocumentView;
import org.whinwharf.document.StartupInquiry;
import org.whinwharf.membership.Membership;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.runtime.platform.PlatformAnswer;
import org.whinwharf.wire.message.DocumentReply;
import org.whinwharf.wire.message.DocumentRequest;
import org.whinwharf.wire.message.Frame;
import org.whinwharf.wire.message.Heartbeat;
import org.whinwharf.wire.peer.PeerAddress;
import org.whinwharf.wire.peer.PeerLink;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.HostList;

/**
 * Decides what a node knows: document, host list, which peers it asks, and whether it may serve.
 *
 * <p>Holds no clock, socket or thread. Not safe for use by several threads.
 */
public final class NodeCore {
    /** Longest wait at the start for peers that neither answer nor refuse. */
    public static final long PATIENCE_MILLIS = 1_500;

    private static final long ASK_AGAIN_MILLIS = 2_000;

    private final String self;
    private final String selfHost;
    private final DocumentIntake documents;
    private final ListKeeper lists = new ListKeeper();
    private final NodeEffects effects;
    private final Set<PeerAddress> chosen = new HashSet<>();
    private final Map<String, Long> unhelpful = new HashMap<>();
    private StartupInquiry inquiry;
    private boolean inquired;
    private boolean platformAsked;
    private String asked = "";
    private long askedAtMillis;
    private Membership membership;

    /**
     * Makes a core that knows nothing.
     *
     * @param selfHost name of this host
     * @param self name of this process, see {@link PeerChoice#name}
     * @param environment environment of this process
     * @param platformUrl base URL of the configuration service
     * @param effects what the core has done
     */
    public NodeCore(String selfHost, String self, String environment, String platformUrl, NodeEffects effects) {
        this.selfHost = selfHost;
        this.self = self;
        this.effects = effects;
        documents = new DocumentIntake(environment, platformUrl);
    }

    /**
     * Takes an answer of the configuration service.
     *
     * @param answer the answer
     * @param askedAt monotonic clock when it was asked for
     */
    public void documentAnswered(PlatformAnswer<byte[]> answer, long askedAt) {
        platformAsked = true;
        if (documents.answered(answer, askedAt)) {
            documentChanged();
        }
    }

    /**
     * Takes an answer of the host list.
     *
     * @param answer the answer
     * @param askedAt monotonic clock when it was asked for
     * @param nowMillis monotonic clock
     */
    public void listAnswered(PlatformAnswer<HostList> answer, long askedAt, long nowMillis) {
        if (!lists.answered(answer, askedAt)) {
            return;
        }
        choosePeers(nowMillis);
        membershipChanged();
    }

    /**
     * Takes a frame between nodes: a heartbeat, or a request for a document, or the reply to one.
     *
     * @param link where it came from
     * @param frame the frame
     * @param nowMillis monotonic clock
     */
    public void received(PeerLink link, Frame frame, long nowMillis) {
        if (frame.hasHeartbeat()) {
            heartbeat(link, frame.getHeartbeat(), nowMillis);
        } else if (frame.hasDocumentRequest()) {
            reply(link, frame.getDocumentRequest());
        } else if (frame.hasDocumentReply()) {
            replied(link, frame.getDocumentReply(), nowMillis);
        }
    }

    /**
     * Notes that a peer cannot be reached, or that its link went down.
     *
     * @param peer name of the process
     */
    public void lost(String peer) {
        done(peer);
        if (asked.equals(peer)) {
            asked = "";
        }
    }

    /**
     * Returns what is known.
     *
     * @param nowMillis monotonic clock
     * @return what is known at this instant
     */
    public Snapshot snapshot(long nowMillis) {
        return new Snapshot(
                documents.keeper().inForce(),
                documents.keeper().published(),
                Optional.ofNullable(membership),
                lists.revision(),
                documents.heardAtMillis(),
                lists.heardAtMillis(),
                reasons(nowMillis),
                documents.faults());
    }

    private List<String> reasons(long nowMillis) {
        List<String> reasons = new ArrayList<>();
        if (lists.list().isEmpty()) {
            reasons.add(RuntimeText.get("not-ready.list", lists.problem()));
        } else if (lists.list().get().getHostsList().stream()
                .noneMatch(host -> host.getName().equals(selfHost))) {
            reasons.add(RuntimeText.get("not-ready.unlisted"));
        }
        if (documents.keeper().inForce().isEmpty()) {
            reasons.add(RuntimeText.get("not-ready.document", documents.problem()));
        }
        inquired = inquired || (platformAsked && inquiry != null && inquiry.isComplete(nowMillis));
        if (!inquired) {
            reasons.add(RuntimeText.get("not-ready.peers"));
        }
        return reasons;
    }

    private void choosePeers(long nowMillis) {
        List<PeerAddress> peers = PeerChoice.choose(
                lists.list().orElseThrow().getHostsList().stream()
                        .filter(host -> host.hasEntry())
                        .toList(),
                self);
        if (inquiry == null) {
            inquiry = new StartupInquiry(nowMillis, PATIENCE_MILLIS);
        }
        inquiry.peers(peers.stream()
                .map(peer -> PeerChoice.name(peer.host(), peer.role()))
                .collect(Collectors.toSet()));
        Set<PeerAddress> wanted = Set.copyOf(peers);
        chosen.stream().filter(peer -> !wanted.contains(peer)).forEach(effects::disconnect);
        wanted.stream().filter(peer -> !chosen.contains(peer)).forEach(effects::connect);
        chosen.clear();
        chosen.addAll(wanted);
    }

    private void heartbeat(PeerLink link, Heartbeat heartbeat, long nowMillis) {
        String peer = nameOf(link);
        long theirs = heartbeat.getGeneration();
        documents.heardOf(peer, theirs, heartbeat.getDocumentDigest());
        boolean ahead = theirs > documents.keeper().generation();
        if (!ahead || unhelpful.getOrDefault(peer, 0L) == theirs) {
            done(peer);
            return;
        }
        boolean free = asked.isEmpty() || nowMillis - askedAtMillis >= ASK_AGAIN_MILLIS;
        if (free && link.send(request())) {
            asked = peer;
            askedAtMillis = nowMillis;
        }
    }

    private Frame request() {
        return Frame.newBuilder()
                .setDocumentRequest(DocumentRequest.newBuilder()
                        .setAboveGeneration(documents.keeper().generation()))
                .build();
    }

    private void reply(PeerLink link, DocumentRequest request) {
        boolean newer = documents.keeper().generation() > request.getAboveGeneration();
        ByteString published = newer ? documents.keeper().published() : ByteString.EMPTY;
        link.send(Frame.newBuilder()
                .setDocumentReply(DocumentReply.newBuilder()
                        .setGeneration(documents.keeper().generation())
                        .setPublished(published))
                .build());
    }

    private void replied(PeerLink link, DocumentReply reply, long nowMillis) {
        String peer = nameOf(link);
        if (!reply.getPublished().isEmpty()
                && documents.offered(reply.getPublished().toByteArray(), peer, nowMillis)) {
            documentChanged();
        }
        if (reply.getGeneration() > documents.keeper().generation()) {
            // Their document is invalid here: asking again at each heartbeat would move a megabyte each time.
            unhelpful.put(peer, reply.getGeneration());
        }
        lost(peer);
    }

    private void done(String peer) {
        if (inquiry != null) {
            inquiry.done(peer);
        }
    }

    private void documentChanged() {
        effects.documentChanged(documents.keeper().inForce().orElseThrow());
        membershipChanged();
    }

    private void membershipChanged() {
        Optional<DocumentView> document = documents.keeper().inForce();
        if (document.isPresent() && lists.list().isPresent()) {
            Document dataCentres = Document.newBuilder()
                    .setGeneration(document.get().generation())
                    .addAllDataCentres(document.get().dataCentres())
                    .build();
            membership = Membership.of(lists.list().get(), dataCentres);
            effects.membershipChanged(membership);
        }
    }

    private static String nameOf(PeerLink link) {
        return PeerChoice.name(link.peer().getHost(), link.peer().getRole());
    }
}
