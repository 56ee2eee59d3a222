package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.Weights;

class SettingsTextTest {
    private static final String TEXT = """
            Balancers=1
            Classes.count=1
            Classes.0.GiveUp=4000000000
            Classes.0.Idempotency=safe
            Guarantees.Fall=1000000000
            Guarantees.RampTime=20000000000
            Guarantees.StartCapacity=0.14
            Guarantees.StopSendingWithin=250000000
            Guarantees.TipMultiple=3.0
            Limits.MaxAttempts=3
            Me=0
            """;

    private static Weights weights(String line) { return new SettingsText(TEXT + line).settings().weights(); }

    /** What weights are was not read: each was taken for a size. */
    @Test void whatWeightsAreIsReadAndAnUnknownWordIsNoSize() {
        assertEquals(Weights.NOMINAL, weights("Weights=nominal"));
        assertEquals(Weights.ROUGH, weights("Weights=rough"));
        assertEquals(Weights.LIVE, weights("Weights=live"));
        assertEquals(Weights.SILENT, weights("Weights=silent"));
        assertFalse(weights("Weights=by_colour").areSizes());
        assertFalse(weights("").areSizes());
    }
}
