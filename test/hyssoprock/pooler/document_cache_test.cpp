#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/pooler/document_cache.hpp>

using namespace hyssoprock;

namespace {

/// Parser that counts its calls; the text of a document is its version.
struct CountingParser
{
    Result<DeploymentDocument> operator()(std::string_view bytes) const
    {
        ++*parseCount;
        if (bytes == "bad") {
            return failure(ErrorKind::InvalidValue, "not a number");
        }
        DeploymentDocument document;
        document.version = std::stoull(std::string{bytes});
        return document;
    }

    int *parseCount;
};

} // namespace

// Guards against parsing a large document once per component of a control host, also while another
// one is being stored.
Test(documentCache, parsesEachDocumentOnce)
{
    int parseCount = 0;
    DocumentCache cache{CountingParser{&parseCount}};
    const auto seventh = cache.parse("7").value();
    cr_assert_eq(seventh->version, 7U);
    cr_assert(cache.parse(std::string{"7"}).value() == seventh, "the parsed document is shared");
    const auto eighth = cache.parse("8").value();
    cr_assert(cache.parse("7").value() == seventh && cache.parse("8").value() == eighth);
    cr_assert_eq(parseCount, 2);
}

// Guards against parsing an invalid document repeatedly, and against returning its error for
// another document.
Test(documentCache, cachesParseErrors)
{
    int parseCount = 0;
    DocumentCache cache{CountingParser{&parseCount}};
    cr_assert(cache.parse("bad").error().kind == ErrorKind::InvalidValue);
    cr_assert(cache.parse("bad").error().detail == "not a number");
    cr_assert(cache.parse("9").value()->version == 9);
    cr_assert_eq(parseCount, 2);
}

// Guards against memory usage that grows with each version.
Test(documentCache, evictsOldDocuments)
{
    int parseCount = 0;
    DocumentCache cache{CountingParser{&parseCount}};
    const std::weak_ptr<const DeploymentDocument> first = cache.parse("1").value();
    (void)cache.parse("2");
    (void)cache.parse("3");
    cr_assert(first.expired());
}
