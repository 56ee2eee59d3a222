package streamproxy.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DivergenceCheckTest {
    private static final long AT = 3 * DivergenceCheck.EVERY;
    private final DivergenceCheck marks = new DivergenceCheck();

    @Test void oneThatDiffersFromMostHasGoneApartAndMostHaveNot() {
        marks.own(AT, 7);
        marks.told("r0", AT, 8);
        assertEquals(-1, marks.apart(3), "one of three may itself be wrong");
        marks.told("r1", AT, 9);
        assertEquals(-1, marks.apart(3), "no two are alike");
        marks.told("r1", AT, 8);
        assertEquals(AT, marks.apart(3));
        assertEquals(-1, marks.apart(5), "two of five are not most");
    }

    @Test void whatWasNotSummedHereSaysNothing() {
        marks.told("r0", AT, 8);
        marks.told("r1", AT, 8);
        assertEquals(-1, marks.apart(3));
        marks.own(AT, 8);
        assertEquals(-1, marks.apart(3));
    }

    @Test void onlyTheNewestPlacesAreKept() {
        marks.own(AT, 7);
        for (long place = AT + DivergenceCheck.EVERY; place <= AT + 9 * DivergenceCheck.EVERY; place += DivergenceCheck.EVERY) {
            marks.own(place, 1);
            marks.told("r0", place, 1);
        }
        marks.told("r0", AT, 8);
        marks.told("r1", AT, 8);
        assertEquals(-1, marks.apart(3));
    }
}
