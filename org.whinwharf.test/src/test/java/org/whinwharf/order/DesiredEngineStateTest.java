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

class DesiredEngineStateTest {
    private static final Model LAMPA = Model.newBuilder()
            .setName("lampa")
            .setVersion("2")
            .addAdapters("sk")
            .build();
    private static final DesiredEngineState DESIRED = new DesiredEngineState(List.of(LAMPA), "decode");

    @Test
    void engineInDesiredStateNeedsNoSteps() {
        EngineState state = EngineState.newBuilder()
                .setRole("decode")
                .addModels(LoadedModel.newBuilder()
                        .setName("lampa")
                        .setVersion("2")
                        .addAdapters("sk"))
                .build();
        assertThat(DESIRED.missingSteps(state), empty());
    }

    @Test
    void unloadsBeforeLoading() {
        EngineState state = EngineState.newBuilder()
                .addModels(LoadedModel.newBuilder().setName("old").setVersion("1"))
                .build();
        assertThat(
                DESIRED.missingSteps(state),
                contains(OrderStep.role("decode"), OrderStep.unload("old"), OrderStep.load(LAMPA)));
        assertThat(DESIRED.loadPriority(state), is(LoadPriority.MODEL_MISSING));
    }

    @Test
    void reloadsModelWithOtherVersionOrAdapters() {
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
        assertThat(DESIRED.missingSteps(version), contains(OrderStep.load(LAMPA)));
        assertThat(DESIRED.missingSteps(adapters), contains(OrderStep.load(LAMPA)));
        assertThat(DESIRED.loadPriority(version), is(LoadPriority.OTHER_VERSION));
    }
}
