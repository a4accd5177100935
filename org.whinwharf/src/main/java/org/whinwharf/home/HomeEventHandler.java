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
     * Handles {@link HomeEvent.CancelRequested}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CancelRequested event);

    /**
     * Handles {@link HomeEvent.CallerDisconnected}.
     *
     * @param event what happens
     */
    void on(HomeEvent.CallerDisconnected event);

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
     * Handles {@link HomeEvent.StatusReceived}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StatusReceived event);

    /**
     * Handles {@link HomeEvent.OwnerConnected}.
     *
     * @param event what happens
     */
    void on(HomeEvent.OwnerConnected event);

    /**
     * Handles {@link HomeEvent.OwnerDisconnected}.
     *
     * @param event what happens
     */
    void on(HomeEvent.OwnerDisconnected event);

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
     * Handles {@link HomeEvent.TokenReceived}.
     *
     * @param event what happens
     */
    void on(HomeEvent.TokenReceived event);

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
     * Handles {@link HomeEvent.StopRequested}.
     *
     * @param event what happens
     */
    void on(HomeEvent.StopRequested event);

    /**
     * Handles {@link HomeEvent.Ticked}.
     *
     * @param event what happens
     */
    void on(HomeEvent.Ticked event);
}
