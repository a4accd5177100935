package org.whinwharf.home;

/** Handles the events of a home, with one method per type. */
public interface HomeEventHandler {
    /**
     * Handles {@link HomeEvent.Submitted}.
     *
     * @param event the event
     */
    void on(HomeEvent.Submitted event);

    /**
     * Handles {@link HomeEvent.Rejoined}.
     *
     * @param event the event
     */
    void on(HomeEvent.Rejoined event);

    /**
     * Handles {@link HomeEvent.LookedUp}.
     *
     * @param event the event
     */
    void on(HomeEvent.LookedUp event);

    /**
     * Handles {@link HomeEvent.NumberLookedUp}.
     *
     * @param event the event
     */
    void on(HomeEvent.NumberLookedUp event);

    /**
     * Handles {@link HomeEvent.CancelRequested}.
     *
     * @param event the event
     */
    void on(HomeEvent.CancelRequested event);

    /**
     * Handles {@link HomeEvent.CallerDisconnected}.
     *
     * @param event the event
     */
    void on(HomeEvent.CallerDisconnected event);

    /**
     * Handles {@link HomeEvent.CallerSlow}.
     *
     * @param event the event
     */
    void on(HomeEvent.CallerSlow event);

    /**
     * Handles {@link HomeEvent.Granted}.
     *
     * @param event the event
     */
    void on(HomeEvent.Granted event);

    /**
     * Handles {@link HomeEvent.Refused}.
     *
     * @param event the event
     */
    void on(HomeEvent.Refused event);

    /**
     * Handles {@link HomeEvent.Recalled}.
     *
     * @param event the event
     */
    void on(HomeEvent.Recalled event);

    /**
     * Handles {@link HomeEvent.StatusReceived}.
     *
     * @param event the event
     */
    void on(HomeEvent.StatusReceived event);

    /**
     * Handles {@link HomeEvent.OwnerConnected}.
     *
     * @param event the event
     */
    void on(HomeEvent.OwnerConnected event);

    /**
     * Handles {@link HomeEvent.OwnerDisconnected}.
     *
     * @param event the event
     */
    void on(HomeEvent.OwnerDisconnected event);

    /**
     * Handles {@link HomeEvent.ViewChanged}.
     *
     * @param event the event
     */
    void on(HomeEvent.ViewChanged event);

    /**
     * Handles {@link HomeEvent.Sent}.
     *
     * @param event the event
     */
    void on(HomeEvent.Sent event);

    /**
     * Handles {@link HomeEvent.NotSent}.
     *
     * @param event the event
     */
    void on(HomeEvent.NotSent event);

    /**
     * Handles {@link HomeEvent.ConnectFailed}.
     *
     * @param event the event
     */
    void on(HomeEvent.ConnectFailed event);

    /**
     * Handles {@link HomeEvent.TargetRefused}.
     *
     * @param event the event
     */
    void on(HomeEvent.TargetRefused event);

    /**
     * Handles {@link HomeEvent.TargetFailed}.
     *
     * @param event the event
     */
    void on(HomeEvent.TargetFailed event);

    /**
     * Handles {@link HomeEvent.TokenReceived}.
     *
     * @param event the event
     */
    void on(HomeEvent.TokenReceived event);

    /**
     * Handles {@link HomeEvent.CallAnswered}.
     *
     * @param event the event
     */
    void on(HomeEvent.CallAnswered event);

    /**
     * Handles {@link HomeEvent.StreamBroken}.
     *
     * @param event the event
     */
    void on(HomeEvent.StreamBroken event);

    /**
     * Handles {@link HomeEvent.StreamSilent}.
     *
     * @param event the event
     */
    void on(HomeEvent.StreamSilent event);

    /**
     * Handles {@link HomeEvent.StreamUnknown}.
     *
     * @param event the event
     */
    void on(HomeEvent.StreamUnknown event);

    /**
     * Handles {@link HomeEvent.StopRequested}.
     *
     * @param event the event
     */
    void on(HomeEvent.StopRequested event);

    /**
     * Handles {@link HomeEvent.StopDue}.
     *
     * @param event the event
     */
    void on(HomeEvent.StopDue event);

    /**
     * Handles {@link HomeEvent.Ticked}.
     *
     * @param event the event
     */
    void on(HomeEvent.Ticked event);
}
