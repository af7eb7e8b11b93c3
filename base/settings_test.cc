#include "base/settings.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <string>

namespace
{

struct settings {
	char *name;
	int64_t lines;
	double ratio;
};

const settings_item ITEMS[] = {
	{"host", "name", SETTINGS_TEXT, offsetof(settings, name), "h", 0, 0},
	{"log", "lines", SETTINGS_INT, offsetof(settings, lines), "300", 0, 1000},
	{"repeats", "ratio", SETTINGS_REAL, offsetof(settings, ratio), "0.2", 0, 1},
};
const size_t N = sizeof(ITEMS) / sizeof(ITEMS[0]);

/* Returns the settings that are read from a file with the given text. */
settings Load(const char *text)
{
	settings s{};
	GString *errors = g_string_new(nullptr);
	char path[] = "/tmp/bg-set-XXXXXX";
	int fd = mkstemp(path);

	EXPECT_EQ(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	EXPECT_EQ(settings_load(path, ITEMS, N, &s, errors), 0) << errors->str;
	unlink(path);
	g_string_free(errors, TRUE);
	return s;
}

TEST(SettingsTest, DigestAndDifferingKeysOfTwoFiles)
{
	const char *const shared[] = {"log", "repeats", nullptr};
	const struct {
		const char *one, *other, *differing;
		bool same_digest;
	} cases[] = {
		{"", "", "", true},
		{"[log]\nlines = 300\n", "; a comment\n\n[repeats]\nratio=0.20\n", "", true},
		{"[host]\nname = a\n", "[host]\nname = b\n", "host.name", true},
		{"[log]\nlines = 301\n", "", "log.lines", false},
		{"[repeats]\nratio = 0.3\n[host]\nname = c\n", "[log]\nlines = 1\n",
		 "host.name,log.lines,repeats.ratio", false},
	};
	for (const auto &c : cases) {
		settings one = Load(c.one), other = Load(c.other);
		GString *keys = g_string_new(nullptr);

		settings_differing(ITEMS, N, &one, &other, keys);
		EXPECT_STREQ(keys->str, c.differing) << c.one << "|" << c.other;
		EXPECT_EQ(settings_digest(ITEMS, N, &one, shared) ==
				  settings_digest(ITEMS, N, &other, shared),
			  c.same_digest)
			<< c.one << "|" << c.other;
		g_string_free(keys, TRUE);
		settings_clear(ITEMS, N, &one);
		settings_clear(ITEMS, N, &other);
	}
}

} // namespace
