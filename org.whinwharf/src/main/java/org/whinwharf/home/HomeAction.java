package org.whinwharf.home;

import org.whinwharf.wire.message.Frame;

/** Action that a home requests from its entry process. */
public sealed interface HomeAction {
    /**
     * Passes this action to the handler's method for its type.
     *
     * @param handler the handler
     */
    void accept(Handler handler);

    /** Executes actions, with one method per type. */
    interface Handler {
        /**
         * Handles {@link SendToOwner}.
         *
         * @param action the action
         */
        void on(SendToOwner action);

        /**
         * Handles {@link Dispatch}.
         *
         * @param action the action
         */
        void on(Dispatch action);

        /**
         * Handles {@link ResumeStream}.
         *
         * @param action the action
         */
        void on(ResumeStream action);

        /**
         * Handles {@link CancelAtTarget}.
         *
         * @param action the action
         */
        void on(CancelAtTarget action);

        /**
         * Handles {@link ReleaseConnection}.
         *
         * @param action the action
         */
        void on(ReleaseConnection action);

        /**
         * Handles {@link AnswerHead}.
         *
         * @param action the action
         */
        void on(AnswerHead action);

        /**
         * Handles {@link AnswerToken}.
         *
         * @param action the action
         */
        void on(AnswerToken action);

        /**
         * Handles {@link AnswerBody}.
         *
         * @param action the action
         */
        void on(AnswerBody action);

        /**
         * Handles {@link AnswerEnd}.
         *
         * @param action the action
         */
        void on(AnswerEnd action);

        /**
         * Handles {@link AnswerError}.
         *
         * @param action the action
         */
        void on(AnswerError action);

        /**
         * Handles {@link CutAnswer}.
         *
         * @param action the action
         */
        void on(CutAnswer action);

        /**
         * Handles {@link ReplayAnswer}.
         *
         * @param action the action
         */
        void on(ReplayAnswer action);

        /**
         * Handles {@link AnswerState}.
         *
         * @param action the action
         */
        void on(AnswerState action);

        /**
         * Handles {@link CacheAnswer}.
         *
         * @param action the action
         */
        void on(CacheAnswer action);

        /**
         * Handles {@link Note}.
         *
         * @param action the action
         */
        void on(Note action);

        /**
         * Handles {@link RecordMetrics}.
         *
         * @param action the action
         */
        void on(RecordMetrics action);
    }

    /**
     * Sends a frame to the scheduler of a host.
     *
     * @param owner host of the scheduler that owns the slice
     * @param frame the frame
     */
    record SendToOwner(String owner, Frame frame) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends a request to a target, if its send gate permits. Never follows after any byte of the request was sent.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param location target of the request
     * @param submission the request
     * @param gate gate that the sender checks immediately before sending
     */
    record Dispatch(long sequence, RequestLocation location, Submission submission, SendGate gate)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Resumes a stream that the target already has. Never starts a request.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param location target that the request was sent to
     * @param fromIndex index of the first missing token
     * @param delayMillis backoff before the attempt
     */
    record ResumeStream(long sequence, RequestLocation location, int fromIndex, long delayMillis)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Cancels the request at its target.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param location target that the request was sent to
     * @param isEngine false for plain services, which do not support cancellation
     */
    record CancelAtTarget(long sequence, RequestLocation location, boolean isEngine) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Releases the connection to the target, because the answer is complete or no longer needed.
     *
     * @param sequence number of the request, unique in this incarnation
     */
    record ReleaseConnection(long sequence) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tells a caller that its request was sent.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param location target that the request was sent to
     * @param organisation organisation of the request
     */
    record AnswerHead(long caller, long sequence, RequestLocation location, String organisation) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends the next token to a caller.
     *
     * @param caller handle of the caller's connection
     * @param index index of the token
     * @param text its text
     */
    record AnswerToken(long caller, int index, String text) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends the complete answer of a plain service to a caller. Final action for the caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param target target that answered
     * @param answer the answer
     */
    record AnswerBody(long caller, long sequence, String target, Answer answer) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tells a caller that its answer is complete. Final action for the caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param target target that answered
     * @param tokens number of tokens in the answer
     */
    record AnswerEnd(long caller, long sequence, String target, int tokens) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends the error of a failed request to a caller. Final action for the caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param outcome the failure
     */
    record AnswerError(long caller, long sequence, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Ends the answer of a sent request whose outcome is unknown, because the process ends: with the error when the
     * caller has received nothing, else without an end, so that the caller can resume the stream. Final action for the
     * caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param outcome the failure
     */
    record CutAnswer(long caller, long sequence, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends the stored answer of an ended request to a caller. Final action for the caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param fromIndex index of the first token that the caller has not received
     * @param outcome how the request ended
     */
    record ReplayAnswer(long caller, long sequence, int fromIndex, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Sends the state of a request to a caller. Final action for the caller.
     *
     * @param caller handle of the caller's connection
     * @param sequence number of the request, unique in this incarnation
     * @param phase phase of the request
     * @param outcome outcome of the request; without error, with the tokens so far, when it has not ended
     */
    record AnswerState(long caller, long sequence, RequestPhase phase, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Stores a complete answer for callers that ask for it again.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param answer the answer
     */
    record CacheAnswer(long sequence, Answer answer) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Records a step of a request.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param note the step
     * @param detail explanation of the step, without prompts or secrets
     */
    record Note(long sequence, HomeNote note, String detail) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Records the metrics of an ended request.
     *
     * @param sequence number of the request, unique in this incarnation
     * @param submission the request
     * @param outcome outcome of the request
     * @param times times and token counts of the request
     */
    record RecordMetrics(long sequence, Submission submission, Outcome outcome, RequestTimes times)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }
}
