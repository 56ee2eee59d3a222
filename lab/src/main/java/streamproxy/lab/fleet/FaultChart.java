package streamproxy.lab.fleet;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;
import streamproxy.protocol.Json;

/** Acts over time, by router, with the faults drawn in: {@code acts.csv} and {@code acts.png}; and times without a holder. */
final class FaultChart {
    private static final long BUCKET_MS = 250;
    private static final double MS = 1e6;

    private FaultChart() { }

    static void of(Path observed, Path folder) throws IOException {
        Map<String, TreeMap<Long, Integer>> acts = new TreeMap<>();
        List<Double> faults = new ArrayList<>();
        long last = 0;
        for (String text : Files.readAllLines(observed)) {
            Map<String, Object> line = Json.object(Json.parse(text));
            double ms = ((Json.Number) line.get("t")).value() / MS;
            last = (long) ms / BUCKET_MS;
            boolean ofDuty = line.get("duty") instanceof String duty && !duty.startsWith(Actors.BOX);
            if (ofDuty && Boolean.TRUE.equals(line.get("done"))) {
                acts.computeIfAbsent((String) line.get("who"), who -> new TreeMap<>()).merge(last, 1, Integer::sum);
            } else if ("fault".equals(line.get("kind")) && Boolean.TRUE.equals(line.get("begins"))) {
                faults.add(ms / 1_000);
            }
        }
        if (acts.isEmpty()) {
            return;
        }
        csv(acts, last, folder.resolve("acts.csv"));
        XYChart chart = new XYChartBuilder().width(1_200).height(420).title("Acts in " + BUCKET_MS + " ms, by the router that held the duty")
                .xAxisTitle("seconds").yAxisTitle("acts").build();
        for (Map.Entry<String, TreeMap<Long, Integer>> one : acts.entrySet()) {
            double[] x = new double[(int) last + 1];
            double[] y = new double[x.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = i * BUCKET_MS / 1_000.0;
                y[i] = one.getValue().getOrDefault((long) i, 0);
            }
            chart.addSeries(one.getKey(), x, y).setMarker(SeriesMarkers.NONE);
        }
        if (!faults.isEmpty()) {
            XYSeries series = chart.addSeries("a fault begins", faults.stream().mapToDouble(f -> f).toArray(), new double[faults.size()]);
            series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
            series.setMarker(SeriesMarkers.TRIANGLE_UP);
        }
        BitmapEncoder.saveBitmap(chart, folder.resolve("acts.png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** How long duties were without a holder, by fault: which part of the hand-overs took so long at most. {@code hand-overs.png}. */
    static void handOvers(List<Play.HandOver> all, double leaseS, Path folder) throws IOException {
        XYChart chart = new XYChartBuilder().width(900).height(500).title(all.size() + " hand-overs at a lease of " + leaseS + " s")
                .xAxisTitle("ms without an act").yAxisTitle("percent of them, at most so long").build();
        for (Plan.Kind kind : Plan.Kind.values()) {
            double[] ms = all.stream().filter(one -> one.kind() == kind).mapToDouble(Play.HandOver::ms).sorted().toArray();
            if (ms.length > 0) {
                double[] part = IntStream.rangeClosed(1, ms.length).mapToDouble(i -> 100.0 * i / ms.length).toArray();
                chart.addSeries(kind.name().toLowerCase(Locale.ROOT) + " (" + ms.length + ")", ms, part).setMarker(SeriesMarkers.CIRCLE);
            }
        }
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, folder.resolve("hand-overs.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    private static void csv(Map<String, TreeMap<Long, Integer>> acts, long last, Path file) throws IOException {
        List<String> header = new ArrayList<>(List.of("ms"));
        header.addAll(acts.keySet());
        try (BufferedWriter out = Files.newBufferedWriter(file); CSVPrinter printer = new CSVPrinter(out,
                CSVFormat.DEFAULT.builder().setRecordSeparator('\n').setHeader(header.toArray(new String[0])).build())) {
            for (long bucket = 0; bucket <= last; bucket++) {
                List<Object> row = new ArrayList<>(List.of(bucket * BUCKET_MS));
                for (TreeMap<Long, Integer> of : acts.values()) {
                    row.add(of.getOrDefault(bucket, 0));
                }
                printer.printRecord(row);
            }
        }
    }
}
