import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The settings file of a host changes soon after its start, and the platform says so with SIGHUP. */
final class EarlyHangup extends Case {
  private static final int HOSTS = 4;

  /** Hosts that get a SIGHUP; a share of 0.6 at most. */
  private static final int SIGNALLED = 2;
  private static final int ENDS = 3;

  /** From the start of the process to the signal. */
  private static final long DELAY_MS = 150;

  public static void main(String[] arguments) {
    run(new EarlyHangup(), arguments);
  }

  @Override
  boolean play(Path folder) throws Exception {
    Store store = new Store();
    Group group = new Group("ledger", store);
    Promotions promotions = new Promotions(group);
    List<ObjectNode> routes = List.of(group.route("till", "primary", 0));
    Group.configure(store, 3, routes, List.of(group.configuration(88)));
    int endedThrice = 0;
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      Host host = new Host(folder, "edge-" + i, "a", store.port(), promotions.port());
      hosts.add(host);
      int ends = 0;
      for (int life = 1; life <= ENDS; life++) {
        host.start();
        note(host.name + ": started, life " + life);
        if (TROUBLE && i < SIGNALLED) {
          pause(DELAY_MS);
          host.signal("HUP");
          note(host.name + ": SIGHUP " + DELAY_MS + " ms after the start");
        }
        Integer code = host.exitCode(5_000);
        if (code != null) {
          ends++;
          note(host.name + ": the process ended by itself with exit code " + code);
        } else {
          note(host.name + ": the process runs, ready " + host.ready());
          break;
        }
      }
      endedThrice += ends >= ENDS ? 1 : 0;
    }
    note("hosts whose processes ended by themselves three times: " + endedThrice + " of " + HOSTS);
    return endedThrice < 2;
  }
}
