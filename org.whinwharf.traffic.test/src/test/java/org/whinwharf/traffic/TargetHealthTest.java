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

    /** Guards against a probe that ejects a target anew, since it was sent while the target was silent. */
    @Test
    void lateProbeResultDoesNotEjectTargetThatSendsAgain() {
        health.recordSilence(0);
        assertThat(health.beginProbe(500), is(true));
        health.recordLifeSign();
        health.recordProbeResult(1_000, false);
        assertThat(health.admits(1_000), is(true));
    }
}
