package org.whinwharf.entry.internal;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.whinwharf.document.Caller;
import org.whinwharf.document.DocumentView;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Failure;
import org.whinwharf.errors.Result;
import org.whinwharf.errors.Success;
import org.whinwharf.home.Submission;
import org.whinwharf.home.TicketNumber;
import org.whinwharf.routing.PrefixDigests;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.ReadResult;
import org.whinwharf.schema.SchemaReader;
import org.whinwharf.ticket.SealingKeys;
import org.whinwharf.ticket.Ticket;
import org.whinwharf.wire.caller.SubmitRequest;
import org.whinwharf.wire.message.RelaySubmit;
import org.whinwharf.wire.schema.CallSpec;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;

/** Checks what callers submit against the schema and the document in force. */
final class SubmissionReader {
    private static final String DEADLINE_FIELD = "deadlineMillis";
    private final DocumentView document;

    SubmissionReader(DocumentView document) {
        this.document = document;
    }

    /** Reads the body of a submission; comments and unknown fields are told apart from bad values. */
    static Result<SubmitRequest> parse(byte[] body) {
        String json;
        try {
            json = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(java.nio.ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException malformed) {
            return Result.failure(ErrorKind.MALFORMED, EntryText.get("the-body-is-not-utf-8"));
        }
        ReadResult<SubmitRequest> read = SchemaReader.read(json, "body", SubmitRequest.getDefaultInstance());
        if (read instanceof ReadResult.Invalid<SubmitRequest> invalid) {
            Fault fault = invalid.faults().get(0);
            return Result.failure(kind(fault), fault.text());
        }
        return Result.of(((ReadResult.Valid<SubmitRequest>) read).value());
    }

    /** Checks a submission of a caller. */
    Result<Submission> check(SubmitRequest request, Caller caller) {
        Submission.Builder builder = Submission.builder()
                .organisation(caller.organisation())
                .weight(caller.weight())
                .tierRank(caller.tier().getRank());
        Result<Optional<TicketNumber>> numbered = ticketNumber(request);
        if (numbered instanceof Failure<Optional<TicketNumber>> failure) {
            return failure.as();
        }
        builder.ticketNumber(((Success<Optional<TicketNumber>>) numbered).value());
        return checkService(request, builder);
    }

    /** Checks a submission that another host relays; the caller's tier comes with it. */
    Result<Submission> check(RelaySubmit relay) {
        SubmitRequest request = SubmitRequest.newBuilder()
                .setService(relay.getService())
                .setModel(relay.getModel())
                .setCall(relay.getCall())
                .setMaxTokens(relay.getMaxTokens())
                .setPrompt(relay.getCall().isEmpty() ? relay.getBody().toStringUtf8() : "")
                .setBody(relay.getCall().isEmpty() ? "" : relay.getBody().toStringUtf8())
                .setDeadlineMillis(relay.getLeftMillis())
                .setTicket(relay.getTicket())
                .setNumber(relay.getNumber())
                .build();
        Result<Optional<TicketNumber>> numbered = ticketNumber(request);
        if (numbered instanceof Failure<Optional<TicketNumber>> failure) {
            return failure.as();
        }
        Submission.Builder builder = Submission.builder()
                .organisation(relay.getOrganisation())
                .tierRank(relay.getTierRank())
                .fromIndex(relay.getFromIndex())
                .ticketNumber(((Success<Optional<TicketNumber>>) numbered).value());
        return checkService(request, builder);
    }

    /** Makes what is relayed to the home of a ticket. */
    static RelaySubmit relay(SubmitRequest request, Submission submission) {
        return RelaySubmit.newBuilder()
                .setTicket(request.getTicket())
                .setNumber(request.getNumber())
                .setOrganisation(submission.organisation())
                .setTierRank(submission.tierRank())
                .setService(submission.service())
                .setModel(submission.model())
                .setCall(submission.callName())
                .setIdempotent(submission.isIdempotent())
                .setBody(ByteString.copyFromUtf8(submission.text()))
                .setLeftMillis(submission.leftMillis())
                .setMaxTokens(submission.maxTokens())
                .build();
    }

    private Result<Optional<TicketNumber>> ticketNumber(SubmitRequest request) {
        if (request.getTicket().isEmpty() && !request.hasNumber()) {
            return Result.of(Optional.empty());
        }
        if (request.getTicket().isEmpty() || !request.hasNumber()) {
            return Result.failure(ErrorKind.BAD_VALUE, EntryText.get("ticket-and-number-both-or-neither"));
        }
        Result<Ticket> ticket = Ticket.open(request.getTicket(), new SealingKeys(document.sealingKeys()));
        if (ticket instanceof Failure<Ticket> failure) {
            return failure.as();
        }
        Ticket opened = ((Success<Ticket>) ticket).value();
        return Result.of(Optional.of(new TicketNumber(opened, request.getNumber())));
    }

    private Result<Submission> checkService(SubmitRequest request, Submission.Builder builder) {
        Optional<ServiceSpec> service = document.service(request.getService());
        if (service.isEmpty()) {
            return Result.failure(ErrorKind.UNKNOWN_SERVICE, EntryText.get("no-service-of-this-name"));
        }
        long bodyBytes =
                ByteString.copyFromUtf8(request.getPrompt() + request.getBody()).size();
        if (bodyBytes > service.get().getMaxBodyBytes()) {
            return Result.failure(
                    ErrorKind.BODY_TOO_LARGE,
                    EntryText.get("max-bytes", service.get().getMaxBodyBytes()));
        }
        long leftMillis = request.getDeadlineMillis() == 0
                ? service.get().getDefaultDeadlineMillis()
                : request.getDeadlineMillis();
        if (leftMillis < 0 || leftMillis > service.get().getMaxDeadlineMillis()) {
            return Result.failure(
                    ErrorKind.BAD_DEADLINE,
                    EntryText.get("max-deadline", service.get().getMaxDeadlineMillis()));
        }
        builder.service(request.getService()).leftMillis(leftMillis);
        return service.get().getKind() == ServiceKind.ENGINE
                ? checkEngine(request, service.get(), builder)
                : checkCall(request, service.get(), builder);
    }

    private Result<Submission> checkEngine(SubmitRequest request, ServiceSpec service, Submission.Builder builder) {
        if (!request.getCall().isEmpty() || !request.getBody().isEmpty()) {
            return Result.failure(ErrorKind.BAD_VALUE, EntryText.get("call-and-body-are-for-plain-services"));
        }
        if (!service.getModelsList().contains(request.getModel())) {
            return Result.failure(ErrorKind.UNKNOWN_MODEL, EntryText.get("the-service-does-not-serve-this-model"));
        }
        if (request.getPrompt().isEmpty()) {
            return Result.failure(ErrorKind.BAD_VALUE, EntryText.get("prompt-must-not-be-empty"));
        }
        int maxTokens = request.getMaxTokens() > 0 ? request.getMaxTokens() : expectedTokens(request.getModel());
        Submission submission = builder.isEngine(true)
                .model(request.getModel())
                .text(request.getPrompt())
                .maxTokens(maxTokens)
                .promptTokens(PrefixDigests.tokens(request.getPrompt()))
                .prefixes(PrefixDigests.of(request.getPrompt()))
                .contentDigest(digest(request, maxTokens))
                .call();
        return Result.of(submission);
    }

    private static Result<Submission> checkCall(
            SubmitRequest request, ServiceSpec service, Submission.Builder builder) {
        if (!request.getModel().isEmpty() || !request.getPrompt().isEmpty()) {
            return Result.failure(ErrorKind.BAD_VALUE, EntryText.get("model-and-prompt-are-for-engines"));
        }
        Optional<CallSpec> call = service.getCallsList().stream()
                .filter(each -> each.getName().equals(request.getCall()))
                .findFirst();
        if (call.isEmpty()) {
            return Result.failure(ErrorKind.UNKNOWN_CALL, EntryText.get("the-service-has-no-such-call"));
        }
        boolean numbered = !request.getTicket().isEmpty();
        if (!call.get().getIdempotent() && !numbered) {
            return Result.failure(ErrorKind.TICKET_REQUIRED, EntryText.get("the-call-may-not-be-repeated"));
        }
        Submission submission = builder.isEngine(false)
                .callName(request.getCall())
                .isIdempotent(call.get().getIdempotent())
                .text(request.getBody())
                .contentDigest(digest(request, 0))
                .call();
        return Result.of(submission);
    }

    private int expectedTokens(String model) {
        return document.model(model)
                .map(found -> found.getExpectedAnswerTokens())
                .orElse(0);
    }

    private static long digest(SubmitRequest request, int maxTokens) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : new String[] {
            request.getService(), request.getModel(), request.getPrompt(), request.getCall(), request.getBody()
        }) {
            hasher.putInt(part.length()).putString(part, StandardCharsets.UTF_8);
        }
        return Longs.fromByteArray(hasher.putInt(maxTokens).hash().asBytes());
    }

    private static ErrorKind kind(Fault fault) {
        return switch (fault.problem()) {
            case UNREADABLE, SYNTAX, DUPLICATE_FIELD, TOO_LARGE -> ErrorKind.MALFORMED;
            case UNKNOWN_FIELD -> ErrorKind.UNKNOWN_FIELD;
            default -> fault.path().contains(DEADLINE_FIELD) ? ErrorKind.BAD_DEADLINE : ErrorKind.BAD_VALUE;
        };
    }
}
