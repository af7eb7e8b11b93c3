#include "base/zip.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

TEST(ZipTest, UnpackRestoresPackedData)
{
	std::string text;
	for (int i = 0; i < 1000; i++)
		text += "{\"service\":\"models\",\"state\":\"ready\"}";
	for (size_t len : {(size_t)0, (size_t)1, text.size()}) {
		GByteArray *packed = g_byte_array_new();
		ASSERT_EQ(zip_pack(text.data(), len, packed), 0);
		uint8_t *back = zip_unpack(packed->data, packed->len, len);
		ASSERT_NE(back, nullptr);
		EXPECT_EQ(std::string((char *)back, len), text.substr(0, len));
		EXPECT_EQ(back[len], '\0');
		g_free(back);
		g_byte_array_unref(packed);
	}
}

/*
 * Failure: a host crashed or ran out of memory. Cause: it received damaged data, or a wrong
 * uncompressed length, from another host and used it without a check.
 */
TEST(ZipTest, DamagedDataOrWrongLengthIsRejected)
{
	const std::string text(5000, 'x');
	GByteArray *packed = g_byte_array_new();
	ASSERT_EQ(zip_pack(text.data(), text.size(), packed), 0);
	EXPECT_EQ(zip_unpack(packed->data, packed->len, text.size() - 1), nullptr);
	EXPECT_EQ(zip_unpack(packed->data, packed->len, text.size() + 1), nullptr);
	EXPECT_EQ(zip_unpack(packed->data, packed->len / 2, text.size()), nullptr);
	EXPECT_EQ(zip_unpack(packed->data, packed->len, (size_t)1 << 40), nullptr);
	packed->data[packed->len / 2] ^= 0x55;
	EXPECT_EQ(zip_unpack(packed->data, packed->len, text.size()), nullptr);
	g_byte_array_unref(packed);
}

} // namespace
