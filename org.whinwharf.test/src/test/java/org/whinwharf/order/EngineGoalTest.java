package org.whinwharf.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.wire.schema.EngineState;
import org.whinwharf.wire.schema.LoadedModel;
import org.whinwharf.wire.schema.Model;

class EngineGoalTest {
    private static final Model LAMPA = Model.newBuilder()
            .setName("lampa")
            .setVersion("2")
            .addAdapters("sk")
            .build();
    private static final EngineGoal GOAL = new EngineGoal(List.of(LAMPA), "decode");

    @Test
    void engineAsWantedNeedsNothing() {
        EngineState state = EngineState.newBuilder()
                .setRole("decode")
                .addModels(LoadedModel.newBuilder()
                        .setName("lampa")
                        .setVersion("2")
                        .addAdapters("sk"))
                .build();
        assertThat(GOAL.steps(state), empty());
    }

    @Test
    void roomIsMadeBeforeAModelIsLoaded() {
        EngineState state = EngineState.newBuilder()
                .addModels(LoadedModel.newBuilder().setName("old").setVersion("1"))
                .build();
        assertThat(
                GOAL.steps(state), contains(OrderStep.role("decode"), OrderStep.unload("old"), OrderStep.load(LAMPA)));
        assertThat(GOAL.need(state), is(LoadNeed.MODEL_MISSING));
    }

    @Test
    void otherVersionOrAdaptersAreLoadedAnew() {
        EngineState version = EngineState.newBuilder()
                .setRole("decode")
                .addModels(LoadedModel.newBuilder()
                        .setName("lampa")
                        .setVersion("1")
                        .addAdapters("sk"))
                .build();
        EngineState adapters = EngineState.newBuilder()
                .setRole("decode")
                .addModels(LoadedModel.newBuilder().setName("lampa").setVersion("2"))
                .build();
        assertThat(GOAL.steps(version), contains(OrderStep.load(LAMPA)));
        assertThat(GOAL.steps(adapters), contains(OrderStep.load(LAMPA)));
        assertThat(GOAL.need(version), is(LoadNeed.OTHER_VERSION));
    }
}
