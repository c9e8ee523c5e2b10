#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/sql/attribute_comment.hpp>

using namespace hyssoprock;

namespace {

ErrorKind kindOf(const Result<RequestAttributes> &result)
{
    return result.has_value() ? ErrorKind::None : result.error().kind;
}

Result<RequestAttributes> attributesOf(const RequestAttributes &defaults, std::string_view sql)
{
    return applyAttributes(defaults, sql::parseLeadingAttributes(sql));
}

} // namespace

// Guards against attributes of a comment that are ignored or decoded wrongly.
Test(request_attributes, aLeadingCommentIsDecoded)
{
    const auto attributes =
        attributesOf({}, "  /*class='read',kind='sales%20order',max_age_ms='2000',"
                         "understands='2,1',traceparent='00-ab',request_id='r-1'*/ SELECT 1");
    cr_assert(attributes.value().requestClass == RequestClass::Read);
    cr_assert(attributes.value().kind == "sales order");
    cr_assert(attributes.value().maxAge == Duration{2'000'000});
    const std::vector<std::uint32_t> versions{1, 2};
    cr_assert(attributes.value().understands == versions);
    cr_assert(attributes.value().requestId == "r-1");
}

// Guards against a write that is treated as a read because of an unrelated comment.
Test(request_attributes, otherCommentsChangeNothing)
{
    const RequestAttributes defaults;
    for (const auto *sql : {"/* class='read' is fast */ DELETE", "/*class=read*/ DELETE",
                            "DELETE /*class='read'*/", "-- class='read'\nDELETE",
                            "/*class='read' DELETE", "/*class='re%zzad'*/ DELETE", "/**/ DELETE"}) {
        cr_assert(attributesOf(defaults, sql).value() == defaults, "%s", sql);
    }
}

// Guards against a mistyped value that is silently replaced by the default.
Test(request_attributes, badValuesAreRefused)
{
    for (const auto *comment :
         {"class='readonly'", "max_age_ms='-1'", "max_age_ms='12x'", "understands='1,'",
          "understands='x'", "writes_version='one'", "repeatable='maybe'",
          "request_id='a%27); DROP'", "max_age_ms='99999999999'"}) {
        const auto sql = "/*" + std::string{comment} + "*/ SELECT 1";
        cr_assert(kindOf(attributesOf({}, sql)) == ErrorKind::InvalidAttribute, "%s", comment);
    }
}
