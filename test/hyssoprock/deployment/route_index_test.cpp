#include <memory>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/route_index.hpp>

using namespace hyssoprock;

// Guards against an index whose result differs from a search of the document, in particular where a
// database has several routes with prefixes of the same length.
Test(routeIndex, findsWhatASearchOfTheDocumentFinds)
{
    RandomSource random{5};
    for (int round = 0; round < 200; ++round) {
        auto document = std::make_shared<DeploymentDocument>();
        const auto count = random.next() % 40;
        for (std::uint64_t i = 0; i < count; ++i) {
            Route route;
            route.name = "r-" + std::to_string(i);
            route.database = "d" + std::to_string(random.next() % 12);
            route.pathPrefix = std::string(random.next() % 3, '/');
            document->routes.push_back(std::move(route));
        }
        const RouteIndex index{document};
        for (int i = 0; i < 13; ++i) {
            const auto database = "d" + std::to_string(i);
            cr_assert_eq(index.find(database), findRoute(*document, database));
        }
        cr_assert_null(index.find(""));
    }
    cr_assert_null(RouteIndex{}.find("d1"));
}
