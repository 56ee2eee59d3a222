package streamproxy.duties;

/**
 * A member of the fleet.
 *
 * @param name    its name
 * @param folder  identity of the folder that it runs from
 * @param start   how often a process has started from it
 * @param session of its newest process
 * @param since   the membership's epoch at which it came in, or was replaced
 */
public record Member(String name, long folder, long start, long session, long since) { }
