package streamproxy.stories;

import static org.junit.Assert.assertTrue;

import java.util.Map;
import org.junit.Test;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.program.Router;

/** Settings that SIGHUP brings: new classes bind at once, dropped ones are refused, broken files change nothing. */
public class SettingsIntegrationTest extends RouterTestBase {
    private static final String CHAT = "\"Window\":0}]";
    private static final String AND_CHAT_II = "\"Window\":0},{\"Name\":\"chat-ii\",\"GiveUp\":2000000000,\"Promise\":1000000000,"
            + "\"Gain\":1.0,\"Group\":\"all\",\"Idempotency\":\"safe\",\"Stream\":true,\"Window\":0}]";

    private Deployment deployment;

    private void reload(Map<String, String> environment) {
        router.reload(new Router.Reload() {
            @Override public NodeConfig.Again node() throws NodeConfig.Unusable { return NodeConfig.again(environment); }

            @Override public OperatorFile operator() { return OperatorFile.NONE; }
        });
    }

    private String ask(String kind, String id) throws Exception {
        return caller().send(Caller.prompt(id, "{}").replace("Req-Kind: chat\r\n", "Req-Kind: " + kind + "\r\n")).readTo("\n");
    }

    private void tell(String setting, String otherwise) throws Exception {
        deployment.configureOtherwise(deployment.list.address(), setting, otherwise);
        reload(deployment.environment);
    }

    /** Clients named a class that a reload had added, and were refused, since the router knew its first settings alone. */
    @Test public void aClassThatAReloadAddsIsServedAndOneItDropsIsRefused() throws Exception {
        deployment = routerOver(box(SERVES));
        assertTrue(ask("chat-ii", "a1").startsWith("HTTP/1.1 400 "));
        tell(CHAT, AND_CHAT_II);
        assertTrue(ask("chat-ii", "a2").startsWith("HTTP/1.1 200 "));
        assertTrue(ask("chat", "a3").startsWith("HTTP/1.1 200 "));
        tell("{\"Name\":\"chat\",", "{\"Name\":\"chat-iii\",");
        assertTrue("a class that is no more is refused", ask("chat", "a4").startsWith("HTTP/1.1 400 "));
        assertTrue(ask("chat-iii", "a5").startsWith("HTTP/1.1 200 "));
    }

    /** A request whose head had been read before a reload dropped its class, and its body behind it, was failed. */
    @Test public void aRequestWhoseClassIsDroppedBetweenItsHeadAndItsLastByteIsServed() throws Exception {
        deployment = routerOver(box(SERVES));
        String whole = Caller.prompt("c1", "{}").replace("Host: app.svc\r\n", "Host: app.svc\r\nExpect: 100-continue\r\n");
        Caller caller = caller();
        caller.send(whole.substring(0, whole.length() - 2)).readTo("100 Continue\r\n\r\n"); // its head has been read
        tell("{\"Name\":\"chat\",", "{\"Name\":\"chat-iii\",");
        assertTrue("the new settings bind", ask("chat", "c2").startsWith("HTTP/1.1 400 "));
        assertTrue(caller.send("{}").readTo("\n").startsWith("HTTP/1.1 200 "));
    }

    /** A file cut short, without a key, or with attempts or a deadline of 0 changes nothing, not even the list's address. */
    @Test public void aBrokenFileLeavesTheOldSettingsWhole() throws Exception {
        deployment = routerOver(box(SERVES));
        tell(CHAT, AND_CHAT_II);
        // Each would drop chat-ii and move the box list, were it taken.
        String[][] broken = {{"\"MaxAttempts\":3", "\"MaxAttempts\":0"}, {"\"GiveUp\":3000000000", "\"GiveUp\":-1"},
            {"\"StopSendingWithin\":500000000,", ""}};
        int id = 0;
        for (String[] change : broken) {
            deployment.configureOtherwise("127.0.0.1:1", change[0], change[1]);
            reload(deployment.environment);
            assertTrue(String.join(" ", change), ask("chat-ii", "b" + id++).startsWith("HTTP/1.1 200 "));
        }
        deployment.configure("{\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Classes\":[");
        reload(deployment.environment);
        deployment.configure("");
        reload(deployment.environment);
        assertTrue(ask("chat-ii", "b" + id++).startsWith("HTTP/1.1 200 "));
    }
}
