package streamproxy.decision;

/**
 * A moment at which all that service discovery has counts as told, whether or not it was heard. What was known as of an
 * earlier moment allows no attempts behind it.
 *
 * @param until     attempts may begin before that moment on the word of what is older than {@code clearedBy}
 * @param clearedBy what is known as of that moment or later is not affected
 */
public record Cutoff(long until, long clearedBy) { }
