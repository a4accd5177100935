package org.whinwharf.home;

import org.whinwharf.wire.message.Frame;

/** What a home wants done. */
public sealed interface HomeAction {
    /**
     * Hands this to the method of a handler that is made for it.
     *
     * @param handler the handler
     */
    void accept(Handler handler);

    /** Carries actions out. */
    interface Handler {
        /**
         * Handles {@link SendToOwner}.
         *
         * @param action what happens
         */
        void on(SendToOwner action);

        /**
         * Handles {@link Dispatch}.
         *
         * @param action what happens
         */
        void on(Dispatch action);

        /**
         * Handles {@link ResumeStream}.
         *
         * @param action what happens
         */
        void on(ResumeStream action);

        /**
         * Handles {@link CancelAtTarget}.
         *
         * @param action what happens
         */
        void on(CancelAtTarget action);

        /**
         * Handles {@link ReleaseConnection}.
         *
         * @param action what happens
         */
        void on(ReleaseConnection action);

        /**
         * Handles {@link AnswerHead}.
         *
         * @param action what happens
         */
        void on(AnswerHead action);

        /**
         * Handles {@link AnswerToken}.
         *
         * @param action what happens
         */
        void on(AnswerToken action);

        /**
         * Handles {@link AnswerBody}.
         *
         * @param action what happens
         */
        void on(AnswerBody action);

        /**
         * Handles {@link AnswerEnd}.
         *
         * @param action what happens
         */
        void on(AnswerEnd action);

        /**
         * Handles {@link AnswerError}.
         *
         * @param action what happens
         */
        void on(AnswerError action);

        /**
         * Handles {@link ReplayAnswer}.
         *
         * @param action what happens
         */
        void on(ReplayAnswer action);

        /**
         * Handles {@link AnswerState}.
         *
         * @param action what happens
         */
        void on(AnswerState action);

        /**
         * Handles {@link CacheAnswer}.
         *
         * @param action what happens
         */
        void on(CacheAnswer action);

        /**
         * Handles {@link Note}.
         *
         * @param action what happens
         */
        void on(Note action);

        /**
         * Handles {@link RecordMetrics}.
         *
         * @param action what happens
         */
        void on(RecordMetrics action);
    }

    /**
     * Send a frame to the scheduler of a host.
     *
     * @param owner host
     * @param frame the frame
     */
    record SendToOwner(String owner, Frame frame) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Send the request to a target, if its gate still lets it. Comes at most once for a request that left.
     *
     * @param sequence request, unique in this incarnation
     * @param location where the request is
     * @param submission the request
     * @param gate to be asked right before sending
     */
    record Dispatch(long sequence, RequestLocation location, Submission submission, SendGate gate)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Take up a stream again that the target already has. Starts nothing.
     *
     * @param sequence request, unique in this incarnation
     * @param location where the request is
     * @param fromIndex first token that is lacking
     * @param delayMillis how long to wait before
     */
    record ResumeStream(long sequence, RequestLocation location, int fromIndex, long delayMillis)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * End the work at the target.
     *
     * @param sequence request, unique in this incarnation
     * @param location where the request is
     * @param isEngine false for plain services, which know no cancelling
     */
    record CancelAtTarget(long sequence, RequestLocation location, boolean isEngine) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Let go of the connection to the target; its answer is whole or of no more use.
     *
     * @param sequence request, unique in this incarnation
     */
    record ReleaseConnection(long sequence) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tell a caller that its request was sent.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param location where the request is
     * @param organisation organisation of the request
     */
    record AnswerHead(long caller, long sequence, RequestLocation location, String organisation) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Give a caller the next token.
     *
     * @param caller handle of the connection
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
     * Give a caller the whole answer of a plain service; the last thing it gets.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param target who answered
     * @param answer the answer
     */
    record AnswerBody(long caller, long sequence, String target, Answer answer) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tell a caller that its answer is whole; the last thing it gets.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param target who answered
     * @param tokens tokens of the whole answer
     */
    record AnswerEnd(long caller, long sequence, String target, int tokens) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tell a caller how its request failed; the last thing it gets.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param outcome the failure
     */
    record AnswerError(long caller, long sequence, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Give a caller the kept answer of an ended request; the last thing it gets.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param fromIndex first token that the caller lacks
     * @param outcome how the request ended
     */
    record ReplayAnswer(long caller, long sequence, int fromIndex, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Tell a caller what became of a request; the last thing it gets.
     *
     * @param caller handle of the connection
     * @param sequence request, unique in this incarnation
     * @param phase where the request is
     * @param outcome how it ended, so far whole when it has not
     */
    record AnswerState(long caller, long sequence, RequestPhase phase, Outcome outcome) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Keep a whole answer for callers that ask again.
     *
     * @param sequence request, unique in this incarnation
     * @param answer the answer
     */
    record CacheAnswer(long sequence, Answer answer) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Record what happened to a request.
     *
     * @param sequence request, unique in this incarnation
     * @param note what happened
     * @param detail fact that explains it, free of prompts and secrets
     */
    record Note(long sequence, HomeNote note, String detail) implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }

    /**
     * Count an ended request.
     *
     * @param sequence request, unique in this incarnation
     * @param submission the request
     * @param outcome how it ended
     * @param times its times and token counts
     */
    record RecordMetrics(long sequence, Submission submission, Outcome outcome, RequestTimes times)
            implements HomeAction {
        @Override
        public void accept(Handler handler) {
            handler.on(this);
        }
    }
}
