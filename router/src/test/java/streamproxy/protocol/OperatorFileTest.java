package streamproxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile.Key;

class OperatorFileTest {
    private static String refused(String text) {
        String why = assertThrows(Unusable.class, () -> OperatorReader.parse("op.ini", text)).getMessage();
        assertFalse(why.contains("\n"), why);
        return why;
    }

    @Test void whatIsSetHoldsAndTheRestHasItsDefault() throws Unusable {
        OperatorFile file = OperatorReader.parse("op.ini", "; ours\n[connections]\nclients_most = 500\nclient_idle_s=2.5\n");
        assertEquals(500, file.connections().clientsMost());
        assertEquals(2.5, file.connections().clientIdleS());
        assertEquals(2, file.connections().clientMuteS());
        assertTrue(file.says("clients_most"));
        assertFalse(file.says("active_most"));
    }

    @Test void aKeyThatIsUnknownIsRefusedWhereItStands() {
        assertEquals("op.ini: line 3: [connections] client_most: no such key",
                refused("[connections]\nclients_most = 5\nclient_most = 5\n"));
        assertEquals("op.ini: line 2: [connections] a.b: no such key", refused("[connections]\na.b = 5\n"));
    }

    @Test void aSectionThatIsUnknownIsRefusedWhereItStands() {
        assertEquals("op.ini: line 2: [connection]: no such section", refused("\n[connection]\nclients_most = 5\n"));
    }

    @Test void aKeyOfAnotherSectionIsUnknownHere() {
        assertEquals("op.ini: line 4: [boxes] clients_most: no such key",
                refused("[connections]\nclients_most = 5\n[boxes]\nclients_most = 5\n"));
    }

    @Test void aKeyBeforeTheFirstSectionIsRefused() {
        assertEquals("op.ini: line 2: a key before the first section", refused("; ours\nclients_most = 5\n"));
    }

    @Test void whatIsSetTwiceIsRefused() {
        assertEquals("op.ini: line 3: [connections] active_most: set more than once",
                refused("[connections]\nactive_most = 5\nactive_most = 6\n"));
    }

    @Test void whatIsNoNumberOrNotWholeOrOutOfRangeIsRefused() {
        assertEquals("op.ini: line 2: [connections] active_most: not a number: many", refused("[connections]\nactive_most = many\n"));
        assertEquals("op.ini: line 2: [connections] active_most: not a number: ", refused("[connections]\nactive_most\n"));
        assertEquals("op.ini: line 2: [connections] active_most: not a whole number: 1.5", refused("[connections]\nactive_most = 1.5\n"));
        assertEquals("op.ini: line 2: [connections] client_mute_s: 0.05 is not within 0.1 to 86400",
                refused("[connections]\nclient_mute_s = 0.05\n"));
        assertEquals("op.ini: line 2: [connections] client_idle_s: NaN is not within 0.1 to 86400",
                refused("[connections]\nclient_idle_s = NaN\n"));
    }

    /** The library would put an environment variable in its place. */
    @Test void noValueIsLookedUpElsewhere() {
        assertEquals("op.ini: line 2: [connections] active_most: not a number: ${env:HOME}",
                refused("[connections]\nactive_most = ${env:HOME}\n"));
    }

    @Test void aFileThatCannotBeReadIsRefused(@TempDir Path folder) throws Exception {
        assertTrue(assertThrows(Unusable.class, () -> OperatorReader.read(folder.resolve("none.ini").toString())).getMessage()
                .endsWith("none.ini: cannot be read"));
        Path latin = folder.resolve("latin.ini");
        Files.write(latin, new byte[] {'[', (byte) 0xe9, ']'});
        assertTrue(assertThrows(Unusable.class, () -> OperatorReader.read(latin.toString())).getMessage().endsWith("not UTF-8"));
    }

    /** The commented reference has every key under its section, with the default that holds, and is itself usable. */
    @Test void theReferenceNamesEveryKeyWithItsDefault() throws Exception {
        String text = Files.readString(Path.of("../deploy/streamproxy.ini"));
        assertTrue(OperatorReader.parse("reference", text).connections().equals(OperatorFile.NONE.connections()));
        String section = "";
        int keys = 0;
        java.util.Map<String, java.util.Set<String>> texts = new java.util.HashMap<>();
        for (String line : text.lines().toList()) {
            Matcher named = Pattern.compile("(?:; )?\\[([\\w ]+)]").matcher(line);
            section = named.matches() ? named.group(1) : section;
            Matcher key = Pattern.compile("; (\\w+) =(?: (.+))?").matcher(line);
            if (key.matches() && OperatorFile.textKeys(section) != null) {
                assertTrue(texts.computeIfAbsent(section, s -> new java.util.HashSet<>()).add(key.group(1)), line);
            } else if (key.matches()) {
                Key known = Key.valueOf(key.group(1).toUpperCase(java.util.Locale.ROOT));
                assertEquals(known.section(), section, line);
                assertEquals(known.figure(known.otherwise()), key.group(2), line);
                keys++;
            }
        }
        assertEquals(Key.values().length, keys);
        assertEquals(3, texts.size());
        texts.forEach((named, words) -> assertEquals(OperatorFile.textKeys(named), words));
    }
}
