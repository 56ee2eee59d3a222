package streamproxy.decision;

import java.util.Arrays;

/**
 * What a replica can do once it is warm, beside others. The list's weights have no unit, so that only their ratios count;
 * where the settings say that they are no sizes, all replicas are taken to be alike.
 */
final class ReplicaSizes {
    /** A list may tell anything: no replica counts for more, or a warm one for less, than this multiple of the median. */
    private static final double SPREAD_MOST = 10;
    /** What a cold replica is given of a share that is only guessed, as it may be one of the smaller ones. */
    private static final double CARE = 0.5;

    private double median = 1;
    private boolean told = true;

    /** What is a size from now on: the weights of those that are ready, where the settings say so. */
    void take(Routing.Weights meaning, double[] weights) {
        told = meaning.areSizes();
        Arrays.sort(weights);
        median = weights.length == 0 ? 1 : weights[weights.length / 2];
    }

    /** A weight as a list may tell it; one that cannot be meant counts as none. */
    static double sound(double weight) { return Double.isFinite(weight) && weight > 0 ? weight : 1; }

    double ofWarm(double weight) { return told ? Math.max(median / SPREAD_MOST, Math.min(median * SPREAD_MOST, weight)) : 1; }

    /** Never more than it was told to be, since too little is safe. */
    double ofCold(double weight) { return told ? Math.min(median * SPREAD_MOST, weight) : CARE; }
}
