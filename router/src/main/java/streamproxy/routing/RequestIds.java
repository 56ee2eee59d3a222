package streamproxy.routing;

/** The ids of requests that were taken. Any thread may ask. */
public interface RequestIds {
    /** Remembers an id; false where it was taken before. */
    boolean add(String id);
}
