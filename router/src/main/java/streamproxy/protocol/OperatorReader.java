package streamproxy.protocol;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile.Key;

/** Reads an operator's file. Its library is loaded with this class, that is only where there is a file. */
public final class OperatorReader {
    private OperatorReader() { }

    /** Reads a file and checks each key by itself. */
    public static OperatorFile read(String file) throws Unusable {
        try {
            return parse(file, Files.readString(Path.of(file)));
        } catch (CharacterCodingException e) {
            throw new Unusable(file + ": not UTF-8");
        } catch (IOException | InvalidPathException e) {
            throw new Unusable(file + ": cannot be read");
        }
    }

    static OperatorFile parse(String name, String text) throws Unusable {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException | RuntimeException e) {
            throw new Unusable(name + ": " + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
        Map<String, Map<String, Key>> known = new LinkedHashMap<>();
        for (Key key : Key.values()) {
            known.computeIfAbsent(key.section(), s -> new HashMap<>()).put(key.word(), key);
        }
        Map<Key, Double> set = new EnumMap<>(Key.class);
        OperatorFile read = new OperatorFile(name, text, set);
        for (String section : ini.getSections()) {
            SubnodeConfiguration part = ini.getSection(section);
            if (OperatorFile.textKeys(section) != null) {
                texts(read, section, part);
                continue;
            }
            if (section == null ? !part.isEmpty() : !known.containsKey(section)) {
                throw read.unusable(section, null, section == null ? "a key before the first section" : "no such section");
            }
            for (Iterator<String> keys = part.getKeys(); keys.hasNext();) {
                String word = keys.next();
                Key key = known.get(section).get(word);
                if (key == null) {
                    throw read.unusable(section, word.replace("..", "."), "no such key");
                }
                set.put(key, value(read, key, part.getProperty(word)));
            }
        }
        return read;
    }

    private static void texts(OperatorFile read, String section, SubnodeConfiguration part) throws Unusable {
        read.addSection(section);
        for (Iterator<String> keys = part.getKeys(); keys.hasNext();) {
            String word = keys.next();
            if (!OperatorFile.textKeys(section).contains(word)) {
                throw read.unusable(section, word.replace("..", "."), "no such key");
            }
            if (part.getProperty(word) instanceof Collection) {
                throw read.unusable(section, word, "set more than once");
            }
            read.setText(section, word, String.valueOf(part.getProperty(word)).strip());
        }
    }

    private static double value(OperatorFile read, Key key, Object written) throws Unusable {
        if (written instanceof Collection) {
            throw read.unusable(key.section(), key.word(), "set more than once");
        }
        String text = String.valueOf(written).strip();
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw read.unusable(key.section(), key.word(), "not a number: " + text);
        }
        if (key.whole() && value != Math.rint(value)) {
            throw read.unusable(key.section(), key.word(), "not a whole number: " + text);
        }
        if (!(value >= key.least() && value <= key.most())) {
            throw read.unusable(key.section(), key.word(), text + " is not within " + key.range());
        }
        return value;
    }
}
