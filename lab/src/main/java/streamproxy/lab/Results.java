package streamproxy.lab;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A table of results: printed, written as CSV, and drawn. */
final class Results {
    private final List<String> columns;
    private final List<List<Object>> rows = new ArrayList<>();

    Results(String... columns) { this.columns = List.of(columns); }

    void add(Object... row) {
        if (row.length != columns.size()) {
            throw new IllegalArgumentException(row.length + " values for " + columns);
        }
        rows.add(List.of(row));
    }

    int column(String name) { return columns.indexOf(name); }

    /** The figures of one column in the rows where another has that value. */
    List<Double> figures(String column, String where, Object value) { return figures(column, Map.of(where, value)); }

    /** The figures of one column in the rows where each of those columns has its value. */
    List<Double> figures(String column, Map<String, ?> where) {
        return rows.stream().filter(r -> where.entrySet().stream().allMatch(w -> r.get(column(w.getKey())).equals(w.getValue())))
                .map(r -> ((Number) r.get(column(column))).doubleValue()).collect(Collectors.toList());
    }

    /** The table with its columns aligned, or each row as a JSON object on a line of its own. */
    String text(boolean json) {
        if (json) {
            return rows.stream().map(row -> IntStream.range(0, row.size())
                    .mapToObj(i -> "\"" + columns.get(i) + "\":" + (row.get(i) instanceof Number ? shown(row.get(i))
                            : "\"" + row.get(i) + "\"")).collect(Collectors.joining(",", "{", "}")))
                    .collect(Collectors.joining("\n"));
        }
        int[] widths = new int[columns.size()];
        for (int i = 0; i < widths.length; i++) {
            int at = i;
            widths[i] = Math.max(columns.get(i).length(), rows.stream().mapToInt(r -> shown(r.get(at)).length()).max().orElse(0));
        }
        StringBuilder text = new StringBuilder(line(columns, widths));
        rows.forEach(row -> text.append('\n').append(line(row, widths)));
        return text.toString();
    }

    private static String line(List<?> cells, int[] widths) {
        return IntStream.range(0, widths.length).mapToObj(i -> String.format("%" + widths[i] + "s", shown(cells.get(i))))
                .collect(Collectors.joining("  "));
    }

    private static String shown(Object cell) {
        return cell instanceof Double d ? d == Math.rint(d) && Math.abs(d) < 1e9 ? String.valueOf(Math.round(d))
                : String.format(java.util.Locale.ROOT, "%.3f", d) : String.valueOf(cell);
    }

    /** Writes {@code NAME.csv} into the folder. */
    void csv(Path folder, String name) throws IOException {
        Files.createDirectories(folder);
        try (BufferedWriter out = Files.newBufferedWriter(folder.resolve(name + ".csv"));
                CSVPrinter printer = new CSVPrinter(out, CSVFormat.DEFAULT.builder().setRecordSeparator('\n')
                        .setHeader(columns.toArray(new String[0])).build())) {
            for (List<Object> row : rows) {
                printer.printRecord(row.stream().map(Results::shown).toList());
            }
        }
    }

    /** Draws lines over a common x into {@code NAME.png}. */
    static void chart(Path folder, String name, String title, String xTitle, String yTitle, boolean logarithmic,
            Map<String, List<double[]>> lines) throws IOException {
        Files.createDirectories(folder);
        XYChart chart = new XYChartBuilder().width(900).height(520).title(title).xAxisTitle(xTitle).yAxisTitle(yTitle).build();
        chart.getStyler().setXAxisLogarithmic(logarithmic).setYAxisLogarithmic(logarithmic);
        lines.forEach((line, points) -> chart.addSeries(line, points.stream().mapToDouble(p -> p[0]).toArray(),
                points.stream().mapToDouble(p -> p[1]).toArray()).setMarker(SeriesMarkers.CIRCLE));
        BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
