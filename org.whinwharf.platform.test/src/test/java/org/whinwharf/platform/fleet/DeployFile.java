package org.whinwharf.platform.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The deploy file of the repository: how the platform runs the program, and the template of its settings. */
final class DeployFile {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern TEMPLATE = Pattern.compile("(?m)^template = \"(.*)\"$");
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-z0-9_.-]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.-]+)\\|json}}");

    private final Path root;
    private final List<String> command;
    private final String template;

    private DeployFile(Path root, List<String> command, String template) {
        this.root = root;
        this.command = command;
        this.template = template;
    }

    /** Reads the deploy file of the repository that contains the working directory. */
    static DeployFile read() {
        Path root = Path.of("").toAbsolutePath();
        while (!Files.exists(root.resolve("deploy/system.toml"))) {
            root = root.getParent();
        }
        return read(root);
    }

    /** Reads the deploy file of a repository. */
    static DeployFile read(Path root) {
        try {
            String text = Files.readString(root.resolve("deploy/system.toml"));
            String template = Files.readString(root.resolve(find(TEMPLATE, text)));
            return new DeployFile(root, List.of(find(RUN, text).split(" ")), template);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String find(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("deploy/system.toml has no line " + pattern);
        }
        return matcher.group(1);
    }

    /** Returns the root of the repository, in which the program starts. */
    Path root() {
        return root;
    }

    /** Returns the program and its arguments. */
    List<String> command() {
        return command;
    }

    /** Returns the file of the program, which the build of the module before this one writes. */
    Path program() {
        return root.resolve(command.get(command.size() - 1));
    }

    /** Trains the class archive as the build does, unless there is one that is newer than the program. */
    synchronized void trainArchive() throws IOException, InterruptedException {
        Path archive = root.resolve("target/front/whinwharf-front.jsa");
        if (!Files.exists(program())) {
            throw new IllegalStateException("not built: " + program());
        }
        boolean current = Files.exists(archive)
                && Files.getLastModifiedTime(archive).compareTo(Files.getLastModifiedTime(program())) > 0;
        if (!current) {
            int exit = new ProcessBuilder("bash", "deploy/train")
                    .directory(root.toFile())
                    .inheritIO()
                    .start()
                    .waitFor();
            if (exit != 0) {
                throw new IllegalStateException("deploy/train exited with " + exit);
            }
        }
    }

    /**
     * Fills in the template.
     *
     * @param fields fields of the platform's settings file by name; values are strings, numbers, booleans, lists and
     *     maps
     */
    String settings(Map<String, Object> fields) {
        String sections = SECTION.matcher(template)
                .replaceAll(
                        match -> Matcher.quoteReplacement(field(fields, match.group(1)) == null ? "" : match.group(2)));
        return PLACEHOLDER
                .matcher(sections)
                .replaceAll(match -> Matcher.quoteReplacement(json(field(fields, match.group(1)))));
    }

    private static Object field(Object fields, String path) {
        Object value = fields;
        for (String name : path.split("\\.")) {
            if (value instanceof List<?> list) {
                value = list.get(Integer.parseInt(name));
            } else {
                value = ((Map<?, ?>) value).get(name);
            }
        }
        return value;
    }

    private static String json(Object value) {
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(DeployFile::json).toList()) + "]";
        }
        return value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
    }
}
