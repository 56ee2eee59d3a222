package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.Weights;

class ReplicaSizesTest {
    private static ReplicaSizes of(Weights meaning, double... weights) {
        ReplicaSizes sizes = new ReplicaSizes();
        sizes.take(meaning, weights);
        return sizes;
    }

    /** Sizes had been held to 0.1 to 10 as they are, so that 16 and 64 counted alike and the smaller one was sent too much. */
    @Test void onlyRatiosOfWeightsCountWhateverTheirUnit() {
        for (double unit : new double[] {1e-6, 1, 16, 1e6}) {
            ReplicaSizes sizes = of(Weights.NOMINAL, unit, 4 * unit, 4 * unit);
            assertEquals(0.25, sizes.ofCold(unit) / sizes.ofWarm(4 * unit), 1e-9, "unit " + unit);
        }
    }

    @Test void weightsThatAreNoSizesCountAlike() {
        for (Weights meaning : new Weights[] {Weights.LIVE, Weights.SILENT}) {
            ReplicaSizes sizes = of(meaning, 0.1, 0.1, 1);
            assertEquals(1, sizes.ofWarm(0.1));
            assertEquals(sizes.ofCold(0.1), sizes.ofCold(1));
        }
    }

    /** One entry that cannot be meant neither takes all turns nor leaves the others none. */
    @Test void weightsThatCannotBeMeantAreBounded() {
        ReplicaSizes sizes = of(Weights.ROUGH, 1, 1, 1, 1e30);
        assertEquals(10, sizes.ofWarm(1e30));
        assertEquals(10, sizes.ofCold(1e30));
        assertEquals(0.1, sizes.ofWarm(1e-30));
        for (double bad : new double[] {Double.NaN, Double.POSITIVE_INFINITY, 0, -3}) {
            assertEquals(1, ReplicaSizes.sound(bad));
        }
    }
}
