package org.whinwharf.bench.history;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Command line of the history checker. */
@Command(name = "whinwharf-check-history", description = "Checks what callers were told against what targets ran")
public final class CheckCommand implements Callable<Integer> {
    private static final int VIOLATIONS_EXIT = 1;
    private static final int UNREAD_EXIT = 2;

    @Option(name = "--history", title = "FILE", description = "Attempts as JSON lines; may be given several times")
    @Required
    private List<String> histories = new ArrayList<>();

    @Option(name = "--hosts", title = "FILE|URL", description = "Host list whose targets are asked for their records")
    private String hosts = "";

    @Option(name = "--targets", title = "FILE", description = "Records of targets, as --save-targets writes them")
    private String targets = "";

    @Option(name = "--save-targets", title = "FILE", description = "Where the records that were read go")
    private String saveTargets = "";

    @Option(name = "--withdrawals", title = "FILE", description = "JSON array of the times in which places were out")
    private String withdrawals = "";

    @Option(name = "--withdrawal-millis", title = "N", description = "Time until a place that is out gets no new work")
    private long withdrawalMillis = Tolerances.DEFAULT.withdrawalMillis();

    @Option(name = "--cold-millis", title = "N", description = "Time until a target's turning cold is noticed")
    private long coldMillis = Tolerances.DEFAULT.coldMillis();

    /**
     * Checks and prints every breach.
     *
     * @return 0 for a clean history, 1 when rules are broken, 2 when a target's record could not be read
     * @throws IOException when a file cannot be read or written
     */
    @Override
    public Integer call() throws IOException {
        List<HistoryEntry> entries = new ArrayList<>();
        for (String file : histories) {
            entries.addAll(HistoryFiles.readEntries(Path.of(file)));
        }
        TargetRecords records = new TargetRecords();
        List<TargetHistory> read =
                targets.isEmpty() ? records.fetch(hosts) : HistoryFiles.readTargets(Path.of(targets));
        if (!saveTargets.isEmpty()) {
            HistoryFiles.writeTargets(Path.of(saveTargets), read);
        }
        List<Withdrawal> out = withdrawals.isEmpty() ? List.of() : HistoryFiles.readWithdrawals(Path.of(withdrawals));
        Tolerances tolerances = new Tolerances(withdrawalMillis, coldMillis, Tolerances.DEFAULT.clockMillis());
        List<Violation> violations = new History(entries, read, out, tolerances).violations();
        violations.forEach(each -> System.out.println(each.rule() + " " + each.subject() + ": " + each.detail()));
        records.unread().forEach(target -> System.out.println("UNREAD " + target));
        System.out.println(entries.size() + " attempts, " + read.size() + " targets, " + violations.size()
                + " violations, " + records.unread().size() + " targets unread");
        if (!violations.isEmpty()) {
            return VIOLATIONS_EXIT;
        }
        return records.unread().isEmpty() ? 0 : UNREAD_EXIT;
    }
}
