#include "base/fld.h"

#include <gtest/gtest.h>
#include <microhttpd.h>
#include <string>

namespace
{

std::string ToString(str s)
{
	return std::string(s.data, s.len);
}

TEST(FldTest, LinesAreReadAsFields)
{
	const struct {
		const char *line;
		bool is_field;
		const char *name, *value;
	} cases[] = {
		{"Name: value", true, "Name", "value"},
		{"Name:value", true, "Name", "value"},
		{"Name: \t two words \t", true, "Name", "two words"},
		{"Name: a: b", true, "Name", "a: b"},
		{"Name:", true, "Name", ""},
		{"Name: \t ", true, "Name", ""},
		{"Name: \fx\v", true, "Name", "\fx\v"},
		{"Name: a\rb", true, "Name", "a\rb"},
		{"", false, "", ""},
		{"Name", false, "", ""},
		{": value", false, "", ""},
		{"Name : value", false, "", ""},
		{" Name: value", false, "", ""},
		{"\tName: value", false, "", ""},
		{"Na me: value", false, "", ""},
		{"N\xe4me: value", false, "", ""},
	};
	for (const auto &c : cases) {
		fld fld{};
		ASSERT_EQ(fld_read(&fld, c.line), c.is_field) << c.line;
		if (!c.is_field)
			continue;
		EXPECT_EQ(ToString(fld.name), c.name) << c.line;
		EXPECT_EQ(ToString(fld.value), c.value) << c.line;
	}
}

TEST(FldTest, NamesAreComparedWithoutCase)
{
	fld fld{};
	ASSERT_TRUE(fld_read(&fld, "Retry-After: 1"));
	EXPECT_TRUE(fld_is_named(&fld, "retry-after"));
	EXPECT_FALSE(fld_is_named(&fld, "Retry"));
	EXPECT_FALSE(fld_is_named(&fld, "Retry-After-All"));
}

TEST(FldTest, NumbersAreDecimalAndInRange)
{
	guint64 number = 0;
	EXPECT_TRUE(fld_read_number(str_from_cstr("9223372036854775807"), &number));
	EXPECT_EQ(number, (guint64)G_MAXINT64);
	for (const char *text : {"", " ", "-1", "+1", "1x", "0x1", "9223372036854775808", "1 2"})
		EXPECT_FALSE(fld_read_number(str_from_cstr(text), &number)) << text;
}

bool LibraryTakes(const std::string &name, const std::string &value)
{
	MHD_Response *resp = MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
	bool taken = MHD_add_response_header(resp, name.c_str(), value.c_str()) == MHD_YES;
	MHD_destroy_response(resp);
	return taken;
}

/* Guards against a field that is judged as if its receiver had it, and that the library drops. */
TEST(FldTest, LibraryTakesWhatCountsAsSendable)
{
	for (int byte = 1; byte < 256; byte++) {
		const std::string c(1, (char)byte);
		for (const std::string &text : {c, "a" + c, c + "a", "a" + c + "b"}) {
			if (fld_can_send("Name", text.c_str())) {
				EXPECT_TRUE(LibraryTakes("Name", text)) << "value, byte " << byte;
			}
			if (fld_can_send(text.c_str(), "value")) {
				EXPECT_TRUE(LibraryTakes(text, "value")) << "name, byte " << byte;
			}
		}
	}
	EXPECT_FALSE(LibraryTakes("Name", ""));
	EXPECT_FALSE(fld_can_send("Name", ""));
	EXPECT_FALSE(fld_can_send("", "value"));
	EXPECT_FALSE(fld_can_send(nullptr, nullptr));
}

} // namespace
