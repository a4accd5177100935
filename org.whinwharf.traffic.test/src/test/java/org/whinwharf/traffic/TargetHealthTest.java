package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.target.TargetHealth;

class TargetHealthTest {
    private final TargetHealth health = new TargetHealth();

    /**
     * A target passes its health check but fails nearly half of its requests. Failures need not be consecutive, so only
     * their share reveals the fault.
     */
    @Test
    void errorShareEjects() {
        boolean ejected = false;
        for (int i = 0; i < 40 && !ejected; i++) {
            ejected = health.recordErrorAnswer(0);
            if (i % 5 == 4) {
                health.recordSuccess();
            }
        }
        assertThat(ejected, is(true));
    }

    /** One in seven lookups of the booking service ends with an error even on healthy targets. */
    @Test
    void usualErrorsDoNotEject() {
        for (int i = 0; i < 700; i++) {
            if (i % 7 == 0) {
                assertThat(health.recordErrorAnswer(i), is(false));
            } else {
                health.recordSuccess();
            }
        }
    }

    @Test
    void ejectedTargetReturnsThroughOneProbe() {
        health.recordFailure(0, true);
        assertThat(health.beginProbe(100), is(false));
        assertThat(health.beginProbe(600), is(true));
        assertThat(health.beginProbe(600), is(false));
        health.recordProbeResult(650, true);
        assertThat(health.ejected(), is(false));
    }

    /**
     * An engine hangs but still passes its health checks. Each time it returned from ejection, all its slots would be
     * filled, and those requests would wait in vain until their deadline.
     */
    @Test
    void targetOnTrialGetsOneRequestAtATimeUntilAnAnswerStarts() {
        health.recordFailure(0, true);
        health.beginProbe(600);
        health.recordProbeResult(650, true);
        assertThat(health.admits(650), is(true));
        health.recordDispatch(650);
        assertThat(health.admits(660), is(false));
        assertThat(health.admits(1_150), is(true));
        health.recordDispatch(1_150);
        health.recordAnswerStart();
        assertThat(health.admits(1_151), is(true));
    }

    @Test
    void failedProbesComeLessOften() {
        health.recordFailure(0, true);
        health.beginProbe(500);
        health.recordProbeResult(500, false);
        assertThat(health.beginProbe(1_000), is(false));
        assertThat(health.beginProbe(1_500), is(true));
    }

    /** Guards against a target that has paused and stays out of use until a probe, though it answers again. */
    @Test
    void silentTargetReturnsOnceItSendsAgain() {
        assertThat(health.recordSilence(0), is(true));
        assertThat(health.recordLifeSign(), is(true));
        assertThat(health.ejected(), is(false));
        assertThat(health.admits(10), is(true));
        health.recordDispatch(10);
        assertThat(health.admits(11), is(true));
    }

    /** Guards against a target that cannot be reached and returns because a lost connection still delivers bytes. */
    @Test
    void unreachableTargetDoesNotReturnWithBytes() {
        health.recordSilence(0);
        health.recordFailure(100, true);
        assertThat(health.recordLifeSign(), is(false));
        assertThat(health.ejected(), is(true));
    }

    /** Guards against a target that sends again and yet waits for a probe, whose interval has grown meanwhile. */
    @Test
    void targetEjectedForSilenceReturnsAtItsNextBytes() {
        health.recordSilence(0);
        assertThat(health.admits(100), is(false));
        health.beginProbe(500);
        health.recordProbeResult(1_000, false);
        assertThat(health.recordLifeSign(), is(true));
        assertThat(health.admits(1_100), is(true));
        health.recordDispatch(1_100);
        assertThat("not on trial", health.admits(1_101), is(true));
        assertThat(health.recordLifeSign(), is(false));
    }

    /** Guards against a probe that began before the target went on and puts it on trial after that. */
    @Test
    void lateProbeResultPutsNoTargetOnTrialThatSendsAgain() {
        health.recordSilence(0);
        health.beginProbe(500);
        health.recordLifeSign();
        health.recordProbeResult(900, true);
        health.recordDispatch(900);
        assertThat(health.admits(901), is(true));
    }

    /** Guards against bytes of an earlier run that bring a target back which has failed meanwhile. */
    @Test
    void lifeSignDoesNotEndEjectionForFailures() {
        health.recordFailure(0, true);
        assertThat(health.recordSilence(10), is(false));
        assertThat(health.recordLifeSign(), is(false));
        assertThat(health.ejected(), is(true));
    }

    /** Guards against a probe that ejects a target anew, since it was sent while the target was silent. */
    @Test
    void lateProbeResultDoesNotEjectTargetThatSendsAgain() {
        health.recordSilence(0);
        assertThat(health.beginProbe(500), is(true));
        health.recordLifeSign();
        health.recordProbeResult(1_000, false);
        assertThat(health.admits(1_000), is(true));
    }

    /** Guards against ejections that grow longer with each pause of a sound target. */
    @Test
    void ejectionAfterLifeSignIsAsShortAsTheFirst() {
        for (long atMillis = 0; atMillis < 50_000; atMillis += 10_000) {
            health.recordSilence(atMillis);
            assertThat(health.beginProbe(atMillis + 499), is(false));
            assertThat(health.beginProbe(atMillis + 500), is(true));
            health.recordProbeResult(atMillis + 1_000, false);
            health.recordLifeSign();
        }
    }

    /** Guards against an earlier probe that brings back a target which was ejected again since it began. */
    @Test
    void probeOfEarlierEjectionDoesNotEndLaterOne() {
        health.recordSilence(0);
        health.beginProbe(500);
        health.recordLifeSign();
        health.recordFailure(600, true);
        health.recordProbeResult(650, true);
        assertThat(health.ejected(), is(true));
    }
}
