package org.whinwharf.pgm.internal;

import java.util.ArrayList;
import java.util.List;

/** Aligns columns of text. */
public final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Begins a table.
     *
     * @param header titles of the columns
     */
    public Table(String... header) {
        rows.add(List.of(header));
    }

    /**
     * Adds a row.
     *
     * @param cells a text for each column
     * @return this table
     */
    public Table row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(cell.toString());
        }
        rows.add(row);
        return this;
    }

    /**
     * Returns the aligned rows.
     *
     * @return lines; empty when there is no row but the header
     */
    public List<String> lines() {
        if (rows.size() == 1) {
            return List.of();
        }
        return rows.stream().map(this::line).toList();
    }

    private String line(List<String> row) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            line.append(row.get(column));
            line.append(" ".repeat(width(column) - row.get(column).length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
