package org.whinwharf.home;

/** Takes what happens at a home, a method for each kind of event. */
public interface HomeEventHandler {
    /**
     * Handles {@link HomeEvent.Submitted}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Submitted event);

    /**
     * Handles {@link HomeEvent.Rejoined}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Rejoined event);

    /**
     * Handles {@link HomeEvent.LookedUp}.
     *
     * @param event what happens
     */
    void on(HomeEvent.LookedUp event);

    /**
     * Handles {@link HomeEvent.NumberLookedUp}.
     *
     * @param event what happens
     */
    void on(HomeEvent.NumberLookedUp event);

    /**
     * Handles {@link HomeEvent.CancelAsked}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CancelAsked event);

    /**
     * Handles {@link HomeEvent.CallerGone}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CallerGone event);

    /**
     * Handles {@link HomeEvent.CallerSlow}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CallerSlow event);

    /**
     * Handles {@link HomeEvent.Granted}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Granted event);

    /**
     * Handles {@link HomeEvent.Refused}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Refused event);

    /**
     * Handles {@link HomeEvent.Recalled}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Recalled event);

    /**
     * Handles {@link HomeEvent.StatusHeard}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StatusHeard event);

    /**
     * Handles {@link HomeEvent.OwnerUp}.
     *
     * @param event what happens
     */
    void on(HomeEvent.OwnerUp event);

    /**
     * Handles {@link HomeEvent.OwnerDown}.
     *
     * @param event what happens
     */
    void on(HomeEvent.OwnerDown event);

    /**
     * Handles {@link HomeEvent.ViewChanged}.
     *
     * @param event what happens
     */
    void on(HomeEvent.ViewChanged event);

    /**
     * Handles {@link HomeEvent.Sent}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Sent event);

    /**
     * Handles {@link HomeEvent.NotSent}.
     *
     * @param event what happens
     */
    void on(HomeEvent.NotSent event);

    /**
     * Handles {@link HomeEvent.ConnectFailed}.
     *
     * @param event what happens
     */
    void on(HomeEvent.ConnectFailed event);

    /**
     * Handles {@link HomeEvent.TargetRefused}.
     *
     * @param event what happens
     */
    void on(HomeEvent.TargetRefused event);

    /**
     * Handles {@link HomeEvent.TargetFailed}.
     *
     * @param event what happens
     */
    void on(HomeEvent.TargetFailed event);

    /**
     * Handles {@link HomeEvent.TokenArrived}.
     *
     * @param event what happens
     */
    void on(HomeEvent.TokenArrived event);

    /**
     * Handles {@link HomeEvent.CallAnswered}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CallAnswered event);

    /**
     * Handles {@link HomeEvent.StreamBroken}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StreamBroken event);

    /**
     * Handles {@link HomeEvent.StreamUnknown}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StreamUnknown event);

    /**
     * Handles {@link HomeEvent.StopAsked}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StopAsked event);

    /**
     * Handles {@link HomeEvent.Ticked}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Ticked event);
}
