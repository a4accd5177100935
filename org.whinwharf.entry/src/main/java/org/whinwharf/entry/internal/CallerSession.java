package org.whinwharf.entry.internal;

import org.whinwharf.errors.ErrorKind;
import org.whinwharf.home.Answer;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.Head;
import org.whinwharf.wire.caller.RequestState;

/** Where the answer to one caller goes. Exactly one of the methods that end it is called, last. */
interface CallerSession {
    /** Tells that the request was sent; a later head stands in for an earlier one. */
    void head(Head head);

    /** Gives the next token. */
    void token(int index, String text);

    /** Ends with the whole answer of a plain service. */
    void body(String requestId, String target, Answer answer);

    /** Ends an answer whose tokens were all given. */
    void end(String requestId, String target, int tokens);

    /** Ends with an error. */
    void error(ErrorKind kind, AnswerError error);

    /** Ends because this process ends: with an error when nothing was given, else without the end of the answer. */
    void cutOff(ErrorKind kind, AnswerError error);

    /** Ends with what became of a request. */
    void state(RequestState state);
}
